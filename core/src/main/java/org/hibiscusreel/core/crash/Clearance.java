package org.hibiscusreel.core.crash;

/**
 * Statement that requests with a trait were answered. One with a higher epoch replaces others.
 *
 * @param trait the trait
 * @param epoch number of times that the trait was cleared
 * @param atMillis time of the answer in milliseconds
 */
public record Clearance(String trait, long epoch, long atMillis) {}
