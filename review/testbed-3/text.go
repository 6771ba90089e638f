package main

import (
	"fmt"

	"github.com/samber/oops"
)

func sprintf(format string, values ...any) string { return fmt.Sprintf(format, values...) }

func errorf(format string, values ...any) error { return oops.Errorf(format, values...) }
