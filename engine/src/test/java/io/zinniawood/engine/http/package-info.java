/** Tests of the HTTP adapters of model engines and plain services. */
package io.zinniawood.engine.http;
