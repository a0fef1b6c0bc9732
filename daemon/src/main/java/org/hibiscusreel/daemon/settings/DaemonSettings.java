package org.hibiscusreel.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.hibiscusreel.daemon.http.ConnectionLimits;

/**
 * Settings of one daemon.
 *
 * @param host the host that the daemon runs on
 * @param listen addresses to listen at
 * @param platform addresses of the platform
 * @param peers other daemons
 * @param limits limits of the process
 * @param log settings of the log
 * @param tls certificates of the ports, or null if no port uses TLS
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
   * Addresses to listen at, each an IP address and a port.
   *
   * @param callers address of the caller API
   * @param admin address of the administrative HTTP server
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
   * @param seeds peer addresses to contact first, each an IP address and a port; may be empty
   */
  public record Peers(@JsonProperty(required = true) List<InetSocketAddress> seeds) {

    /** Copies the list. */
    public Peers {
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * Limits of the process.
   *
   * @param maxBodyBytes largest request body of a caller, in bytes
   * @param maxBufferedBills largest number of bills that are buffered until the platform accepts
   *     them
   * @param maxConnections largest number of connections of callers
   * @param drainTimeoutMs longest time that a graceful stop waits for requests, in milliseconds
   * @param maxHeadBytes largest head of a request of a caller, in bytes
   * @param headMemoryBytes largest memory of all heads that lack their end, in bytes
   * @param bodyMemoryBytes largest memory of all bodies that are being read, in bytes
   * @param maxAdminConnections largest number of connections to the admin port
   * @param maxAdminHeadBytes largest head of a request to the admin port, in bytes
   */
  public record Limits(
      @JsonProperty(required = true) int maxBodyBytes,
      @JsonProperty(required = true) int maxBufferedBills,
      @JsonProperty(required = true) int maxConnections,
      @JsonProperty(required = true) long drainTimeoutMs,
      Integer maxHeadBytes,
      Long headMemoryBytes,
      Long bodyMemoryBytes,
      Integer maxAdminConnections,
      Integer maxAdminHeadBytes) {

    /** All bodies that are being read may take the heap divided by this. */
    private static final int BODY_HEAP_DIVISOR = 4;

    private static final int MAX_ADMIN_CONNECTIONS = 100;
    private static final int MAX_ADMIN_HEAD_BYTES = 8 * 1024;

    /** Sets the values that are missing to those that fit the heap. */
    public Limits {
      long heap = Runtime.getRuntime().maxMemory();
      maxHeadBytes = maxHeadBytes == null ? ConnectionLimits.DEFAULT_MAX_HEAD_BYTES : maxHeadBytes;
      headMemoryBytes =
          headMemoryBytes == null ? ConnectionLimits.headMemoryBytes(heap) : headMemoryBytes;
      bodyMemoryBytes = bodyMemoryBytes == null ? heap / BODY_HEAP_DIVISOR : bodyMemoryBytes;
      maxAdminConnections =
          maxAdminConnections == null ? MAX_ADMIN_CONNECTIONS : maxAdminConnections;
      maxAdminHeadBytes = maxAdminHeadBytes == null ? MAX_ADMIN_HEAD_BYTES : maxAdminHeadBytes;
    }

    /**
     * Creates limits with the default values of those that settings need not contain.
     *
     * @param maxBodyBytes largest request body of a caller, in bytes
     * @param maxBufferedBills largest number of buffered bills
     * @param maxConnections largest number of connections of callers
     * @param drainTimeoutMs longest time that a graceful stop waits for requests, in milliseconds
     */
    public Limits(int maxBodyBytes, int maxBufferedBills, int maxConnections, long drainTimeoutMs) {
      this(
          maxBodyBytes,
          maxBufferedBills,
          maxConnections,
          drainTimeoutMs,
          null,
          null,
          null,
          null,
          null);
    }

    /**
     * Returns the limits of the connections of callers.
     *
     * @return limits
     */
    public ConnectionLimits toConnectionLimits() {
      return new ConnectionLimits(maxConnections, maxHeadBytes, headMemoryBytes);
    }

    /**
     * Returns the limits of the connections to the admin port, whose requests are few and small.
     *
     * @return limits
     */
    public ConnectionLimits toAdminLimits() {
      return new ConnectionLimits(
          maxAdminConnections, maxAdminHeadBytes, ConnectionLimits.MIN_HEAD_MEMORY_BYTES);
    }
  }

  /**
   * Settings of the log.
   *
   * @param level lowest level that is logged
   */
  public record Log(@JsonProperty(required = true) Level level) {}

  /** Log levels. */
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
   * @param callers certificate of the caller API, or null if its port does not use TLS
   * @param peers certificates of the connections between daemons, or null if they do not use TLS
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
   * Certificates of the connections between daemons.
   *
   * @param certificate PEM file with the certificate chain
   * @param key PEM file with the PKCS #8 private key
   * @param ca PEM file with the CA certificates that sign the certificates of peers
   */
  public record PeerTls(
      @JsonProperty(required = true) Path certificate,
      @JsonProperty(required = true) Path key,
      @JsonProperty(required = true) Path ca) {}

  /**
   * Returns the certificate of the caller API.
   *
   * @return the certificate, or empty if the port does not use TLS
   */
  public Optional<CallerTls> callerTls() {
    return Optional.ofNullable(tls).map(Tls::callers);
  }

  /**
   * Returns the certificates of the connections between daemons.
   *
   * @return the certificates, or empty if the connections do not use TLS
   */
  public Optional<PeerTls> peerTls() {
    return Optional.ofNullable(tls).map(Tls::peers);
  }
}
