/** HTTP server shared by the stand-ins. */
package io.zinniawood.standin.http;
