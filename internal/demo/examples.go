package demo

import (
	"fmt"
	"io/fs"
	"path"

	"github.com/oatlatch/oatlatch/examples"
	"github.com/oatlatch/oatlatch/internal/inifile"
	"github.com/oatlatch/oatlatch/internal/service"
)

// loadExamples parses the embedded service files of a user.
func loadExamples(user string) ([]service.Service, error) {
	names, err := fs.Glob(examples.Files, path.Join(user, "*.oatlatch"))
	if err != nil || len(names) == 0 {
		return nil, fmt.Errorf("no examples for user %q: must be amarres or kowhai-lane", user)
	}
	var services []service.Service
	var problems inifile.Problems
	for _, name := range names {
		data, err := examples.Files.ReadFile(name)
		if err != nil {
			return nil, err
		}
		s, found := service.Parse(name, data)
		problems = append(problems, found...)
		services = append(services, s)
	}
	return services, problems.Err()
}
