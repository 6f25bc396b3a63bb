/** What a process leaves out while its processor time is short. Depends on nothing else. */
package io.zinniawood.core.processor;
