/** Independent check of the invariants from what callers, upstreams and the platform saw. */
package org.hibiscusreel.bench.check;
