package org.hibiscusreel.coordination.forward;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.port.Mutation;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.budget.SpendingCeiling;

/**
 * Last known content of the two rows that a daemon writes for one client account: the row of the
 * account with the totals of all hosts, and the row of this host. What the totals sum up is changed
 * in one transaction that expects both versions, so the totals always match the rows of the hosts.
 */
final class AllotmentRows {

  private static final String TABLE = "allotment/";
  private static final String TOTAL = "total";
  private static final String HOST = "host.";

  /** Row that is written with each row of a host as long as the row of the account is absent. */
  private static final String UNTOTALLED = "untotalled";

  /** Separates the name of a row from the era of the store, if that is not the first one. */
  private static final String ERA = "@";

  /** Largest number in a row, so that sums of several can't overflow. */
  private static final long MAX_NUMBER = 1_000_000_000_000_000L;

  /**
   * Row of the account.
   *
   * @param drawn tokens drawn by all hosts
   * @param committed tokens consumed or reserved on all hosts, as last declared
   * @param wanted sum of the target holdings of all hosts, in tokens, as last declared
   */
  record TotalRow(long drawn, long committed, long wanted) {

    static final TotalRow EMPTY = new TotalRow(0, 0, 0);

    private void check() throws IOException {
      requireTokens(drawn, committed, wanted);
    }

    TotalRow with(HolderRow before, HolderRow after) {
      return new TotalRow(
          drawn + after.drawn() - before.drawn(),
          committed + after.committed() - before.committed(),
          wanted + after.wanted() - before.wanted());
    }
  }

  /**
   * Row of one host.
   *
   * @param incarnation incarnation of the daemon that wrote the row
   * @param drawn tokens drawn by the host
   * @param spent drawn tokens that were consumed
   * @param committed drawn tokens that were consumed or are reserved
   * @param requests number of billed requests
   * @param wanted target holding in tokens, 0 once the daemon has stopped
   * @param forecast initial target holding of the next incarnation, in tokens
   * @param ceiling upper bound on the tokens that this incarnation consumes over time
   */
  record HolderRow(
      String incarnation,
      long drawn,
      long spent,
      long committed,
      long requests,
      long wanted,
      long forecast,
      SpendingCeiling ceiling) {

    static final HolderRow EMPTY = new HolderRow("", 0, 0, 0, 0, 0, 0, SpendingCeiling.NONE);

    private void check() throws IOException {
      requireTokens(drawn, spent, committed, requests, wanted, forecast);
      requireTokens(ceiling.base(), ceiling.sinceMillis());
      if (!(ceiling.tokensPerMilli() >= 0 && ceiling.tokensPerMilli() <= MAX_NUMBER)) {
        throw new IOException("the rise of the ceiling is out of range");
      }
    }

    /**
     * Returns the most tokens that the incarnation can have consumed if it had ended by a store
     * time.
     */
    long spentAtMost(long storeMillis) {
      return Math.min(drawn, Math.max(spent, ceiling.at(storeMillis)));
    }
  }

  /** Largest number of rows of hosts that one transaction declares; each counts twice. */
  private static final int MAX_DECLARED = 45;

  private final String account;
  private final long era;
  private final String totalKey;
  private final String holderKey;
  private final String untotalledKey;
  private TotalRow total = TotalRow.EMPTY;
  private HolderRow holder = HolderRow.EMPTY;
  private long totalVersion;
  private long holderVersion;
  private long untotalledVersion;

  /**
   * Creates the rows of one era of the store. Each era has its own rows, so that a write of an
   * earlier one that is performed late changes nothing, although versions are given out again.
   */
  AllotmentRows(String account, String host, long era) {
    this.account = account;
    this.era = era;
    this.totalKey = key(account, TOTAL, era);
    this.holderKey = key(account, HOST + host, era);
    this.untotalledKey = key(account, UNTOTALLED, era);
  }

  private static String key(String account, String name, long era) {
    return prefix(account) + name + (era == 0 ? "" : ERA + era);
  }

  /**
   * Host and era of the row of a host.
   *
   * @param host name of the host
   * @param era era of the store
   */
  record HolderKey(String host, long era) {

    /** Parses the key of a row of an account; empty for a row that is none of a host. */
    static Optional<HolderKey> parse(String account, String key) {
      String start = prefix(account) + HOST;
      if (!key.startsWith(start)) {
        return Optional.empty();
      }
      String name = key.substring(start.length());
      int at = name.lastIndexOf(ERA);
      String era = name.substring(at + 1);
      return at >= 0 && era.matches("[1-9][0-9]{0,17}")
          ? Optional.of(new HolderKey(name.substring(0, at), Long.parseLong(era)))
          : Optional.of(new HolderKey(name, 0));
    }
  }

  String untotalledKey() {
    return untotalledKey;
  }

  /** Returns the beginning of the keys of all rows of an account. */
  static String prefix(String account) {
    return TABLE + account + "/";
  }

  long era() {
    return era;
  }

  String totalKey() {
    return totalKey;
  }

  String holderKey() {
    return holderKey;
  }

  TotalRow total() {
    return total;
  }

  HolderRow holder() {
    return holder;
  }

  /** Outcome of an update. */
  sealed interface Update {

    /**
     * The content is known.
     *
     * @param changed whether a version differs from the one known before
     */
    record Applied(boolean changed) implements Update {}

    /**
     * A row can't be used, so that the content is as before.
     *
     * @param reason key of the row and why
     */
    record Unusable(String reason) implements Update {}
  }

  /**
   * Updates the known content from rows read from the store; a row that is not given is unchanged.
   */
  Update update(List<Row> rows) {
    TotalRow newTotal = total;
    HolderRow newHolder = holder;
    long newTotalVersion = totalVersion;
    long newHolderVersion = holderVersion;
    for (Row row : rows) {
      try {
        if (row.key().equals(totalKey)) {
          newTotalVersion = row.version();
          newTotal = parse(row, TotalRow.class, TotalRow.EMPTY, TotalRow::check);
        } else if (row.key().equals(holderKey)) {
          newHolderVersion = row.version();
          newHolder = parseHolder(row);
        }
      } catch (IOException e) {
        return new Update.Unusable(
            row.key() + ": " + RowValue.shorten(e.getMessage(), RowValue.MAX_REASON_LENGTH));
      }
    }
    final boolean changed = newTotalVersion != totalVersion || newHolderVersion != holderVersion;
    total = newTotal;
    holder = newHolder;
    totalVersion = newTotalVersion;
    holderVersion = newHolderVersion;
    return new Update.Applied(changed);
  }

  /** Checks the content of a row beyond the types of its fields. */
  private interface Check<T> {
    void accept(T value) throws IOException;
  }

  /** Parses the row of a host. */
  static HolderRow parseHolder(Row row) throws IOException {
    return parse(row, HolderRow.class, HolderRow.EMPTY, HolderRow::check);
  }

  private static <T> T parse(Row row, Class<T> type, T absent, Check<T> check) throws IOException {
    if (row.version() == 0) {
      return absent;
    }
    T value = Json.readExact(row.value(), type);
    check.accept(value);
    return value;
  }

  private static void requireTokens(long... numbers) throws IOException {
    for (long n : numbers) {
      if (n < 0 || n > MAX_NUMBER) {
        throw new IOException("the number " + n + " is out of range");
      }
    }
  }

  /**
   * Returns whether the row of the account can include the row of this host. If not, one of them
   * was spoilt, or a transaction took effect between the reads of the two.
   */
  boolean isConsistent() {
    return total.drawn() >= holder.drawn()
        && total.committed() >= holder.committed()
        && total.wanted() >= holder.wanted();
  }

  long totalVersion() {
    return totalVersion;
  }

  long holderVersion() {
    return holderVersion;
  }

  /** Returns the transaction that replaces the row of this host. */
  List<Mutation> replace(HolderRow next) {
    List<Mutation> changes = new ArrayList<>();
    changes.add(Mutation.replace(totalKey, totalVersion, Json.write(total.with(holder, next))));
    changes.add(Mutation.replace(holderKey, holderVersion, Json.write(next)));
    if (isTotalOfEraAbsent()) {
      // The sums were computed from the rows of the hosts, none of which may have come since.
      changes.add(
          new Mutation(
              untotalledKey,
              untotalledVersion == 0
                  ? new Mutation.Expect.Absent()
                  : new Mutation.Expect.Version(untotalledVersion),
              new Mutation.Change.Check()));
    }
    return changes;
  }

  /**
   * Returns whether the row of the account has to be computed from the rows of the hosts, because
   * the store may have been restored and nobody has written it since.
   */
  boolean isTotalOfEraAbsent() {
    return era > 0 && totalVersion == 0;
  }

  /** Sets the sums of the rows of all hosts while the row of the account is absent. */
  void computeTotal(RestoredHolders holders) {
    total = holders.total();
    untotalledVersion = holders.untotalledVersion();
  }

  /**
   * Returns the transaction that declares the row of this host in a new era, before the row of the
   * account is computed.
   */
  List<Mutation> declareOwn(HolderRow next) {
    return declare(List.of(Mutation.insert(holderKey, Json.write(next))));
  }

  /** Returns the transaction that declares the row of another host in a new era. */
  static List<Mutation> declareFor(HolderCopy copy, long era) {
    AllotmentRows rows = new AllotmentRows(copy.account(), copy.host(), era);
    return rows.declare(List.of(Mutation.insert(rows.holderKey, copy.row())));
  }

  /**
   * Returns the transaction that replaces the row of another host which a third one has declared
   * from an older copy; empty if it is not older or has been declared by its own daemon.
   */
  static Optional<List<Mutation>> redeclareFor(HolderCopy copy, long era, List<Row> conflict) {
    AllotmentRows rows = new AllotmentRows(copy.account(), copy.host(), era);
    try {
      HolderRow newer = parseHolder(new Row(rows.holderKey, copy.version(), copy.row()));
      for (Row r : conflict) {
        if (r.key().equals(rows.holderKey)) {
          HolderRow declared = parseHolder(r);
          boolean isOlder =
              declared.incarnation().equals(newer.incarnation())
                  && declared.drawn() < newer.drawn();
          return isOlder
              ? Optional.of(
                  rows.declare(List.of(Mutation.replace(rows.holderKey, r.version(), copy.row()))))
              : Optional.empty();
        }
      }
    } catch (IOException e) {
      // A row that can't be used tells nothing.
    }
    return Optional.empty();
  }

  /** Returns the transaction that declares rows of hosts which no daemon has declared. */
  List<Mutation> declareAll(Map<String, String> rowByHost) {
    return declare(
        rowByHost.entrySet().stream()
            .limit(MAX_DECLARED)
            .map(r -> Mutation.insert(key(account, HOST + r.getKey(), era), r.getValue()))
            .toList());
  }

  private List<Mutation> declare(List<Mutation> inserts) {
    List<Mutation> changes = new ArrayList<>(inserts);
    changes.add(new Mutation(totalKey, new Mutation.Expect.Absent(), new Mutation.Change.Check()));
    changes.add(Mutation.put(untotalledKey, "{}"));
    return changes;
  }

  /**
   * Returns the transaction that replaces only the row of this host. Fields that the row of the
   * account sums up keep their last declared values.
   */
  List<Mutation> renew(HolderRow next) {
    return List.of(Mutation.replace(holderKey, holderVersion, Json.write(next)));
  }

  /** Updates the known content after the row of this host alone was replaced. */
  void onRenewed(HolderRow next, long version) {
    holder = next;
    holderVersion = version;
  }

  /** Updates the known content after the transaction was committed. */
  void onCommitted(HolderRow next, List<Long> versions) {
    total = total.with(holder, next);
    holder = next;
    totalVersion = versions.get(0);
    holderVersion = versions.get(1);
  }
}
