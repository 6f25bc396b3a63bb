/** Value types for ids, and hashes of their texts. Depends on no other package. */
package io.zinniawood.core.id;
