/** Format-independent report model and its HTML, JSON and text renderers. */
package io.zinniawood.report;
