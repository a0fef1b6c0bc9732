package org.hibiscusreel.core.forward;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a configuration grants a client account.
 *
 * @param name name of the account
 * @param priority rank of its requests, which goes before the rank of the route
 * @param prepaidTokens tokens that it may consume, empty without a limit
 */
public record AccountTerms(String name, OptionalInt priority, OptionalLong prepaidTokens) {}
