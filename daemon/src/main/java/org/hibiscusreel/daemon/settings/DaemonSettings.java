package org.hibiscusreel.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Settings of one daemon.
 *
 * @param host the host that the daemon runs on
 * @param listen addresses to listen at
 * @param platform addresses of the platform
 * @param peers other daemons
 * @param limits bounds of the process
 * @param log what is logged
 * @param tls certificates, or null if no port uses TLS
 */
public record DaemonSettings(
    @JsonProperty(required = true) Host host,
    @JsonProperty(required = true) Listen listen,
    @JsonProperty(required = true) Platform platform,
    @JsonProperty(required = true) Peers peers,
    @JsonProperty(required = true) Limits limits,
    @JsonProperty(required = true) Log log,
    Tls tls) {

  /**
   * The host.
   *
   * @param name name of the host, not empty
   * @param failureDomain failure domain of the host, not empty
   * @param site site of the host, not empty
   */
  public record Host(
      @JsonProperty(required = true) String name,
      @JsonProperty(required = true) String failureDomain,
      @JsonProperty(required = true) String site) {}

  /**
   * Addresses to listen at, IP number and port each.
   *
   * @param callers address of the caller API
   * @param admin address of the administrative HTTP service
   * @param peers address of the peer service
   */
  public record Listen(
      @JsonProperty(required = true) InetSocketAddress callers,
      @JsonProperty(required = true) InetSocketAddress admin,
      @JsonProperty(required = true) InetSocketAddress peers) {}

  /**
   * Base URLs of the platform, without a trailing slash.
   *
   * @param table base URL of the table service
   * @param objects base URL of the object store
   * @param hosts base URL of the host list
   */
  public record Platform(
      @JsonProperty(required = true) String table,
      @JsonProperty(required = true) String objects,
      @JsonProperty(required = true) String hosts) {}

  /**
   * Other daemons.
   *
   * @param seeds peer addresses to ask first, IP number and port each; may be empty
   */
  public record Peers(@JsonProperty(required = true) List<InetSocketAddress> seeds) {

    /** Copies the list. */
    public Peers {
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * Bounds of the process.
   *
   * @param maxBodyBytes largest request body of a caller, in bytes
   * @param maxBufferedBills largest number of bills that wait for the platform
   * @param maxConnections largest number of connections of callers
   * @param drainTimeoutMs longest time that a graceful stop waits for requests, in milliseconds
   */
  public record Limits(
      @JsonProperty(required = true) int maxBodyBytes,
      @JsonProperty(required = true) int maxBufferedBills,
      @JsonProperty(required = true) int maxConnections,
      @JsonProperty(required = true) long drainTimeoutMs) {}

  /**
   * What is logged.
   *
   * @param level least level that is logged
   */
  public record Log(@JsonProperty(required = true) Level level) {}

  /** Levels of the log. */
  public enum Level {
    TRACE,
    DEBUG,
    INFO,
    WARN,
    ERROR
  }

  /**
   * Certificates.
   *
   * @param callers certificate of the caller API, or null if it is plain
   * @param peers certificates between daemons, or null if calls are plain
   */
  public record Tls(CallerTls callers, PeerTls peers) {}

  /**
   * Certificate of the caller API.
   *
   * @param certificate PEM file with the certificate chain
   * @param key PEM file with the PKCS #8 private key
   */
  public record CallerTls(
      @JsonProperty(required = true) Path certificate, @JsonProperty(required = true) Path key) {}

  /**
   * Certificates between daemons.
   *
   * @param certificate PEM file with the certificate chain
   * @param key PEM file with the PKCS #8 private key
   * @param ca PEM file with the certificates that sign those of the peers
   */
  public record PeerTls(
      @JsonProperty(required = true) Path certificate,
      @JsonProperty(required = true) Path key,
      @JsonProperty(required = true) Path ca) {}

  /**
   * Returns the certificate of the caller API.
   *
   * @return the certificate, or empty if the port is plain
   */
  public Optional<CallerTls> callerTls() {
    return Optional.ofNullable(tls).map(Tls::callers);
  }

  /**
   * Returns the certificates between daemons.
   *
   * @return the certificates, or empty if the calls are plain
   */
  public Optional<PeerTls> peerTls() {
    return Optional.ofNullable(tls).map(Tls::peers);
  }
}
