/** Load scenarios on a local cluster, with a naive routing policy for comparison. */
package io.zinniawood.cli.bench;
