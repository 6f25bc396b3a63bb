/** Open-loop load generator and its results. Depends on no other module of the project. */
package io.zinniawood.load;
