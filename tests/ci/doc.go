// Package ci tests the script that decides whether a change may land.
package ci
