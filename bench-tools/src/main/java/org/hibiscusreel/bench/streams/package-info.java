/**
 * Model of the streams of a fleet: plays the shipped classes through random orders of events and
 * reports streams that hold events of two versions or services.
 */
package org.hibiscusreel.bench.streams;
