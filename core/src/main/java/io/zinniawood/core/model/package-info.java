/** Value types shared by the events and effects of all roles. */
package io.zinniawood.core.model;
