package settings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/oatlatch/oatlatch/internal/flow/echo"
)

// zones checks the regions of the data centres.
func (c *checker) zones(regions map[string]string) {
	distinct := make(map[string]struct{})
	for _, dataCentre := range slices.Sorted(maps.Keys(regions)) {
		if dataCentre == "" || regions[dataCentre] == "" {
			c.report("zones", dataCentre, "the data centre or its region has no name", "write DATA-CENTRE = REGION, or remove the line")
		}
		distinct[regions[dataCentre]] = struct{}{}
	}
	if len(distinct) > echo.MaxRegions {
		c.report("zones", "", fmt.Sprintf("%d regions are too many", len(distinct)), fmt.Sprintf("write at most %d", echo.MaxRegions))
	}
}
