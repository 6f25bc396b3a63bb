/** Value types for ids. Depends on no other package. */
package io.zinniawood.core.id;
