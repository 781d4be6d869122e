package eventloop

import (
	"net/netip"

	"golang.org/x/sys/unix"
)

// sockaddr converts addr for system calls and returns it with its address family.
func sockaddr(addr netip.AddrPort) (int, unix.Sockaddr) {
	if addr.Addr().Is4() || addr.Addr().Is4In6() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addr.Port()), Addr: addr.Addr().As16()}
}

// addrPort is the inverse of sockaddr. For other address families it returns the zero address.
func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port))
	}
	return netip.AddrPort{}
}
