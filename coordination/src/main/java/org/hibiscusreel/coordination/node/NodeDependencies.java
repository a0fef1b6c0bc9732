package org.hibiscusreel.coordination.node;

import java.util.function.LongSupplier;
import org.hibiscusreel.coordination.port.EngineClient;
import org.hibiscusreel.coordination.port.EventSink;
import org.hibiscusreel.coordination.port.HostList;
import org.hibiscusreel.coordination.port.ObjectStore;
import org.hibiscusreel.coordination.port.PeerTransport;
import org.hibiscusreel.coordination.port.PlainServiceClient;
import org.hibiscusreel.coordination.port.Scheduler;
import org.hibiscusreel.coordination.port.TableService;

/**
 * External services and clients that the coordination services of one daemon depend on.
 *
 * @param scheduler time and delayed tasks
 * @param table the platform's table service
 * @param objects the platform's object store
 * @param hosts the platform's host list
 * @param peers calls to other daemons
 * @param engines calls to model engines
 * @param services calls to plain services
 * @param events receives events for the event timeline
 * @param random source of random bits
 */
public record NodeDependencies(
    Scheduler scheduler,
    TableService table,
    ObjectStore objects,
    HostList hosts,
    PeerTransport peers,
    EngineClient engines,
    PlainServiceClient services,
    EventSink events,
    LongSupplier random) {}
