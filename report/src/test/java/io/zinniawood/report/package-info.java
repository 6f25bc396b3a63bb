/** Tests of the renderers. */
package io.zinniawood.report;
