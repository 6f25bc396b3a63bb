/** Report models and renderers. */
package io.zinniawood.report;
