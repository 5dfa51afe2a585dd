//go:build !linux

package liveness

import "syscall"

// setUserTimeout does nothing: only Linux has TCP_USER_TIMEOUT. Keep-alive probes
// still detect a dead peer while the connection is idle.
func setUserTimeout(string, string, syscall.RawConn) error { return nil }
