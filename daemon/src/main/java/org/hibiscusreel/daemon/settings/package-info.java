/** Settings of one daemon, read from a TOML file per host and validated strictly. */
package org.hibiscusreel.daemon.settings;
