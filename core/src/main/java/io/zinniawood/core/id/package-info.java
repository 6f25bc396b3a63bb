/** Value types for ids. Depends on nothing. */
package io.zinniawood.core.id;
