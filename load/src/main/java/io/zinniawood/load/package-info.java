/** Load generator. */
package io.zinniawood.load;
