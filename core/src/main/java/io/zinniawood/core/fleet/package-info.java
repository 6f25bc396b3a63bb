/**
 * What a process knows of the endpoints: entries of the platform's list, corrected by what answers
 * and silence show. Depends on ids and model types only.
 */
package io.zinniawood.core.fleet;
