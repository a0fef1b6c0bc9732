package org.hibiscusreel.coordination.request;

import org.hibiscusreel.coordination.budget.BudgetReservations;
import org.hibiscusreel.coordination.claim.Claims;
import org.hibiscusreel.coordination.config.ConfigurationView;
import org.hibiscusreel.coordination.ledger.Billing;
import org.hibiscusreel.coordination.membership.MembershipView;
import org.hibiscusreel.coordination.node.NodeDependencies;
import org.hibiscusreel.coordination.timeline.EventRecorder;
import org.hibiscusreel.core.routing.RoutingPolicy;

/**
 * Collaborators of the request service.
 *
 * @param ports scheduler, engines, plain services, table, peers and random source
 * @param recorder recorder of events
 * @param configuration configuration in force
 * @param membership other daemons and leaving upstreams
 * @param budgets reservations of tokens
 * @param billing record of bills
 * @param claims claims of calls that must not be repeated
 * @param routing choice of engines
 * @param loadReports receives the leaving state from load reports
 * @param outcomes receives the outcomes of requests
 */
public record RequestDependencies(
    NodeDependencies ports,
    EventRecorder recorder,
    ConfigurationView configuration,
    MembershipView membership,
    BudgetReservations budgets,
    Billing billing,
    Claims claims,
    RoutingPolicy routing,
    LoadReportListener loadReports,
    OutcomeListener outcomes) {}
