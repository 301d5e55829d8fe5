package file

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// maxLinks is the maximum number of symbolic links that are followed for one path.
const maxLinks = 20

// resolveLinks follows a path through its symbolic links. It returns the paths of these links and of the file itself, and the
// folders that contain them. Every change of the file is a change in one of these folders.
func resolveLinks(path string) (names, folders []string) {
	path, err := filepath.Abs(path)
	if err != nil {
		return nil, nil
	}
	for range maxLinks {
		link, target, rest := firstLink(path)
		if link == "" { // no link is left: path is the file
			names, folders = append(names, path), append(folders, filepath.Dir(path))
			break
		}
		folder := filepath.Dir(link)
		names, folders = append(names, link), append(folders, folder)
		if !filepath.IsAbs(target) {
			target = filepath.Join(folder, target)
		}
		path = filepath.Join(target, rest)
	}
	slices.Sort(folders)
	return names, slices.Compact(folders)
}

// firstLink returns the first symbolic link on a path, its target, and the rest of the path after it. link is "" if the path
// has no link.
func firstLink(path string) (link, target, rest string) {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	prefix := "/"
	for i, part := range parts {
		prefix = filepath.Join(prefix, part)
		if target, err := os.Readlink(prefix); err == nil {
			return prefix, target, filepath.Join(parts[i+1:]...)
		}
	}
	return "", "", ""
}
