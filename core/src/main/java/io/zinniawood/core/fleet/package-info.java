/**
 * State that a process keeps about the endpoints: entries of the platform's endpoint list, combined
 * with observed answers, failures and missing responses. Depends on ids and model types only.
 */
package io.zinniawood.core.fleet;
