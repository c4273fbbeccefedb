package org.rattanhead.peer.internal;

import com.google.protobuf.InvalidProtocolBufferException;

import org.rattanhead.core.host.HostAddress;
import org.rattanhead.messages.MeshBeat;
import org.rattanhead.messages.MeshDatagram;
import org.rattanhead.messages.MeshMember;

/**
 * Checks what receivers keep of a datagram or send to: the names of hosts and the
 * addresses of daemons.
 */
public final class DatagramCheck {

	/** The longest name of a host in the domain name system. */
	private static final int MAX_HOST_CHARACTERS = 255;

	private DatagramCheck() {
	}

	/**
	 * Checks a datagram.
	 * @param datagram the datagram
	 * @return the datagram
	 * @throws InvalidProtocolBufferException if a name or an address is not valid
	 */
	public static MeshDatagram check(MeshDatagram datagram) throws InvalidProtocolBufferException {
		boolean valid = validHost(datagram.getHost()) && (!datagram.hasBeat() || valid(datagram.getBeat()));
		if (!valid) {
			throw new InvalidProtocolBufferException("The name or the address of a daemon is not valid; dropped");
		}
		return datagram;
	}

	private static boolean valid(MeshBeat beat) {
		return HostAddress.valid(beat.getCallersAddress()) && HostAddress.valid(beat.getMeshAddress())
				&& beat.getNamedList().stream().allMatch(DatagramCheck::valid);
	}

	private static boolean valid(MeshMember member) {
		return validHost(member.getHost()) && HostAddress.valid(member.getCallersAddress())
				&& HostAddress.valid(member.getMeshAddress());
	}

	private static boolean validHost(String host) {
		return !host.isEmpty() && host.length() <= MAX_HOST_CHARACTERS;
	}

}
