package crashfs

import (
	"io/fs"
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/storage/vfs"
)

var _ vfs.Dir = (*Dir)(nil)

// List returns the names of all files, sorted.
func (d *Dir) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read returns the content of a file.
func (d *Dir) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.content), nil
}

// Create creates a file and opens it. It returns fs.ErrExist if the file exists.
func (d *Dir) Create(name string) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(FaultNoSpace, FaultReadOnly); err != nil {
		return nil, err
	}
	if d.files[name] != nil {
		return nil, fs.ErrExist
	}
	f := &file{}
	d.files[name] = f
	return &openFile{d, f}, nil
}

// Append truncates a file to a size and opens it for appending.
func (d *Dir) Append(name string, size int64) (vfs.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(FaultReadOnly); err != nil {
		return nil, err
	}
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	f.truncate(int(size))
	return &openFile{d, f}, nil
}

// Rename renames a file and replaces a file that has the new name.
func (d *Dir) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(FaultReadOnly); err != nil {
		return err
	}
	if d.files[from] == nil {
		return fs.ErrNotExist
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove removes a file. It is not an error if the file does not exist.
func (d *Dir) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(FaultReadOnly); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Sync makes the names of all files durable, subject to the current fault.
func (d *Dir) Sync() error {
	err := d.beginSync()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	d.syncNames()
	return nil
}

// Close does nothing, because several simulated processes of a test share the directory.
func (d *Dir) Close() error { return nil }

// openFile is a file that is open for writing.
type openFile struct {
	dir  *Dir
	file *file
}

// Write appends content to the file. At a crash or a fault it writes a random prefix and returns the error.
func (o *openFile) Write(content []byte) (int, error) {
	o.dir.mu.Lock()
	defer o.dir.mu.Unlock()
	wasCrashed := o.dir.crashed
	err := o.dir.beginOperation(FaultNoSpace, FaultReadOnly)
	written := len(content)
	if err != nil {
		written = 0
		if !wasCrashed && len(content) > 0 {
			written = o.dir.random.IntN(len(content) + 1)
		}
	}
	o.file.content = append(o.file.content, content[:written]...)
	return written, err
}

// Sync makes the content of the file durable, subject to the current fault.
func (o *openFile) Sync() error {
	err := o.dir.beginSync()
	defer o.dir.mu.Unlock()
	if err != nil {
		return err
	}
	if o.dir.Fault != FaultSyncIgnored {
		o.file.synced = len(o.file.content)
	}
	return nil
}

// Close does nothing, because writes have no buffer.
func (o *openFile) Close() error { return nil }
