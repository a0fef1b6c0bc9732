package org.hibiscusreel.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hibiscusreel.coordination.platform.Json;
import org.hibiscusreel.coordination.platform.TableKeys;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.Row;
import org.hibiscusreel.core.recovery.IncarnationRow;
import org.hibiscusreel.core.recovery.IncarnationState;
import org.hibiscusreel.core.timeline.TimelineEvent;
import org.hibiscusreel.core.timeline.Timelines;
import org.hibiscusreel.ctl.platform.HttpReply;
import org.hibiscusreel.daemon.platform.JsonBodies;

/** Shows the events of all daemons in causal order. */
@Parameters(commandDescription = "Show the events of all daemons in causal order")
public final class TimelineCommand extends Command {

  private static final int OK = 200;
  private static final int MAX_PAGES = 100;

  @Parameter(names = "--date", description = "Day in UTC, YYYY-MM-DD; default: today")
  private String date;

  @Parameter(names = "--request", description = "Only events of this request identifier")
  private String request;

  @Parameter(names = "--budget", description = "Only events of this budget")
  private String budget;

  @Parameter(names = "--host", description = "Only events of daemons on this host")
  private String host;

  @Parameter(names = "--kind", description = "Only events of this kind")
  private String kind;

  private final List<TimelineEvent> events = new ArrayList<>();
  private boolean incomplete;

  @Override
  public int run(CommandContext context) {
    String day =
        UtcDates.parseOrToday(date, context.platform().scheduler().wallMillis()).toString();
    Map<String, IncarnationRow> incarnations = new HashMap<>();
    for (Row row : context.scan("incarnation/")) {
      incarnations.put(TableKeys.lastPart(row.key()), Json.read(row.value(), IncarnationRow.class));
    }
    incarnations.forEach(
        (id, row) -> {
          if (row.state() == IncarnationState.LIVE && matchesFilters(row)) {
            readEventsOfDaemon(context, id, row.adminAddress());
          }
        });
    readStoredEvents(context, day);
    List<TimelineEvent> merged =
        Timelines.merge(events, event -> matchesFilters(event, incarnations, day));
    merged.forEach(event -> context.print(format(event)));
    context.printMessage(
        merged.size() + " events" + (incomplete ? "; some events could not be read" : ""));
    return ExitCodes.OK;
  }

  private boolean matchesFilters(IncarnationRow row) {
    return host == null || host.equals(row.host());
  }

  private boolean matchesFilters(
      TimelineEvent event, Map<String, IncarnationRow> incarnations, String day) {
    IncarnationRow row = incarnations.get(event.process());
    return (request == null || request.equals(event.request()))
        && (budget == null || budget.equals(event.budget()))
        && (kind == null || kind.equals(event.kind()))
        && (host == null || (row != null && host.equals(row.host())))
        && UtcDates.dayOf(event.at().wallMillis()).toString().equals(day);
  }

  /** Reads the latest events of a running daemon, which are not yet in the object store. */
  private void readEventsOfDaemon(CommandContext context, String incarnation, String address) {
    long after = 0;
    for (int page = 0; page < MAX_PAGES; page++) {
      URI uri = URI.create("http://" + address + "/events?after=" + after);
      HttpReply reply = context.await(context.platform().getFromDaemon(uri));
      if (!(reply instanceof HttpReply.Response response) || response.status() != OK) {
        reportUnreadable(context, incarnation + " at " + address + ": " + reply.describe());
        return;
      }
      try {
        JsonNode root = JsonBodies.readObject(response.body());
        for (JsonNode node : JsonBodies.require(root, "events")) {
          events.add(Json.read(node.toString(), TimelineEvent.class));
        }
        long next = root.path("next").asLong(after);
        if (next <= after) {
          return;
        }
        after = next;
      } catch (IOException | UncheckedIOException e) {
        reportUnreadable(context, incarnation + " at " + address + ": malformed response");
        return;
      }
    }
  }

  private void readStoredEvents(CommandContext context, String day) {
    String prefix = "events/" + day + "/";
    ObjectStore.ListResult listed = context.await(context.platform().objects().list(prefix));
    if (!(listed instanceof ObjectStore.ListResult.Keys keys)) {
      reportUnreadable(
          context,
          "cannot list the object store: " + ((ObjectStore.ListResult.Failed) listed).reason());
      return;
    }
    for (String key : keys.keys()) {
      if (context.await(context.platform().objects().get(key))
          instanceof ObjectStore.GetResult.Found found) {
        readLines(context, key, new String(found.body(), StandardCharsets.UTF_8));
      } else {
        reportUnreadable(context, "object " + key + " can't be read");
      }
    }
  }

  private void readLines(CommandContext context, String key, String text) {
    for (String line : text.split("\n", -1)) {
      if (!line.isBlank()) {
        try {
          events.add(Json.read(line, TimelineEvent.class));
        } catch (UncheckedIOException e) {
          reportUnreadable(context, "object " + key + " has a malformed line");
          return;
        }
      }
    }
  }

  private void reportUnreadable(CommandContext context, String message) {
    incomplete = true;
    context.printMessage(message);
  }

  private static String format(TimelineEvent event) {
    StringBuilder line = new StringBuilder();
    line.append(Instant.ofEpochMilli(event.at().wallMillis()));
    line.append('+').append(event.at().counter());
    line.append(' ').append(event.process()).append(' ').append(event.kind());
    appendField(line, "account", event.account());
    appendField(line, "request", event.request());
    appendField(line, "budget", event.budget());
    appendField(line, "upstream", event.upstream());
    appendField(line, "detail", event.detail());
    return line.toString();
  }

  private static void appendField(StringBuilder line, String name, String value) {
    if (!value.isEmpty()) {
      line.append(' ').append(name).append("=\"").append(value).append('"');
    }
  }
}
