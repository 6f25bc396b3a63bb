/** Stand-ins for the users' platform: its store, its engines and its plain services on loopback. */
package io.zinniawood.dist.users;
