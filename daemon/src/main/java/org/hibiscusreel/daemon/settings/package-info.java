/** Settings of one daemon: a strict TOML file per host. */
package org.hibiscusreel.daemon.settings;
