/** Rotation of what a process tells the others in messages of bounded size. */
package io.zinniawood.core.notice;
