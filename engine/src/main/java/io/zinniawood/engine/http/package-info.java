/** Clients of model engines and plain services over HTTP. */
package io.zinniawood.engine.http;
