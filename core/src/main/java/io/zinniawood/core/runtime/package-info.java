/** Types shared by the reducers of all roles. */
package io.zinniawood.core.runtime;
