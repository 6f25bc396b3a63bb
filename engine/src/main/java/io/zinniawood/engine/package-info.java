/** Client interfaces of model engines and plain services. */
package io.zinniawood.engine;
