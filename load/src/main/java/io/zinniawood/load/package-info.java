/** Open-loop load generator and its results. The package depends on no other module. */
package io.zinniawood.load;
