/** Load scenarios over a local cluster, with a naive policy for comparison. */
package io.zinniawood.cli.bench;
