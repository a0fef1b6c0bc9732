package org.hibiscusreel.coordination.request;

import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.Billing;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.node.NodePorts;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.routing.RoutingPolicy;

/**
 * What the request service works with.
 *
 * @param ports time, engines, plain services, table, peers and randomness
 * @param recorder receives events
 * @param configuration configuration in force
 * @param membership the other daemons and the leaving upstreams
 * @param budgets reserves tokens
 * @param billing records bills
 * @param claims claims calls that may not be repeated
 * @param routing chooses engines
 * @param loadReports receives what load reports say of leaving
 * @param outcomes learns how requests ended
 */
public record RequestDependencies(
    NodePorts ports,
    EventRecorder recorder,
    ConfigurationView configuration,
    MembershipView membership,
    BudgetReservations budgets,
    Billing billing,
    Claims claims,
    RoutingPolicy routing,
    LoadReportListener loadReports,
    OutcomeListener outcomes) {}
