package org.hibiscusreel.core.forward;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Priority and token limit that the configuration assigns to a client account.
 *
 * @param name name of the account
 * @param priority priority of its requests, which overrides the priority of the route
 * @param prepaidTokens tokens that it may consume, empty if unlimited
 */
public record AccountSettings(String name, OptionalInt priority, OptionalLong prepaidTokens) {}
