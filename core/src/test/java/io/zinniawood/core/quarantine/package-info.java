/** Tests of the decisions about parts of prompts that crash endpoints. */
package io.zinniawood.core.quarantine;
