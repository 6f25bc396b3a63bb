/** Records shared by the events and effects of both roles. */
package io.zinniawood.core.model;
