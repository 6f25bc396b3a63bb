/** HTTP server and helpers shared by the stand-ins. */
package io.zinniawood.standin.http;
