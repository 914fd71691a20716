package thwire

import "golang.org/x/sys/unix"

func setMaxUnsent(fd uintptr, bytes int) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
}
