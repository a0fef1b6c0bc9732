package org.hibiscusreel.core.config;

/** Kinds of upstream. */
public enum UpstreamKind {
  /** A model engine. */
  ENGINE,
  /** An instance of a plain service. */
  SERVICE
}
