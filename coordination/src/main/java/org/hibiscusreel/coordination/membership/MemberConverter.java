package org.hibiscusreel.coordination.membership;

import java.util.Optional;
import org.hibiscusreel.core.membership.MemberStatus;
import org.hibiscusreel.core.membership.MemberUpdate;
import org.hibiscusreel.wire.Member;
import org.hibiscusreel.wire.MemberState;

/** Converts members between the wire format, {@link MemberUpdate} and {@link MemberInfo}. */
final class MemberConverter {
  private MemberConverter() {}

  static MemberInfo toInfo(MemberUpdate u) {
    return new MemberInfo(
        u.incarnation(), u.host(), u.failureDomain(), u.site(), u.peerAddress(), u.adminAddress());
  }

  static MemberUpdate toUpdate(MemberInfo m) {
    return new MemberUpdate(
        m.incarnation(),
        m.host(),
        m.failureDomain(),
        m.site(),
        m.peerAddress(),
        m.adminAddress(),
        MemberStatus.ALIVE,
        0);
  }

  static Member toWire(MemberUpdate u) {
    return Member.newBuilder()
        .setIncarnation(u.incarnation())
        .setHost(u.host())
        .setFailureDomain(u.failureDomain())
        .setSite(u.site())
        .setPeerAddress(u.peerAddress())
        .setAdminAddress(u.adminAddress())
        .setState(toState(u.status()))
        .setRefutation(u.refutation())
        .build();
  }

  /** Returns the update, or empty if the message has no incarnation or an unknown state. */
  static Optional<MemberUpdate> fromWire(Member m) {
    if (m.getIncarnation().isEmpty() || m.getState() == MemberState.UNRECOGNIZED) {
      return Optional.empty();
    }
    return Optional.of(
        new MemberUpdate(
            m.getIncarnation(),
            m.getHost(),
            m.getFailureDomain(),
            m.getSite(),
            m.getPeerAddress(),
            m.getAdminAddress(),
            fromState(m.getState()),
            m.getRefutation()));
  }

  private static MemberState toState(MemberStatus s) {
    return switch (s) {
      case ALIVE -> MemberState.ALIVE;
      case SUSPECT -> MemberState.SUSPECT;
      case LEAVING -> MemberState.LEAVING;
      case DEAD -> MemberState.DEAD;
    };
  }

  private static MemberStatus fromState(MemberState s) {
    return switch (s) {
      case SUSPECT -> MemberStatus.SUSPECT;
      case LEAVING -> MemberStatus.LEAVING;
      case DEAD -> MemberStatus.DEAD;
      default -> MemberStatus.ALIVE;
    };
  }
}
