/** Tests of the HTTP clients of model engines and plain services. */
package io.zinniawood.engine.http;
