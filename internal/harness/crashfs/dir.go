package crashfs

import (
	"io/fs"
	"maps"
	"slices"

	"copperrock.example/copperrock/internal/storage/vfs"
)

var _ vfs.Dir = (*Dir)(nil)

// List gives the names of all files, sorted.
func (d *Dir) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read reads all of a file.
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

// Create makes a file, which must not be there.
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

// Append cuts a file to a size and opens it.
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

// Rename renames a file.
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

// Remove removes a file; one that is not there is no error.
func (d *Dir) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.beginOperation(FaultReadOnly); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Sync has the names on the disk, unless it fails or lies.
func (d *Dir) Sync() error {
	err := d.beginSync()
	defer d.mu.Unlock()
	if err != nil {
		return err
	}
	d.syncNames()
	return nil
}

// Close does nothing: several processes of a test share the directory.
func (d *Dir) Close() error { return nil }

// openFile is a file in the program's hands.
type openFile struct {
	dir  *Dir
	file *file
}

// Write takes all or, at a crash or a fault, a first part.
func (o *openFile) Write(content []byte) (int, error) {
	o.dir.mu.Lock()
	defer o.dir.mu.Unlock()
	wasCrashed := o.dir.crashed
	err := o.dir.beginOperation(FaultNoSpace, FaultReadOnly)
	taken := len(content)
	if err != nil {
		taken = 0
		if !wasCrashed && len(content) > 0 {
			taken = o.dir.random.IntN(len(content) + 1)
		}
	}
	o.file.content = append(o.file.content, content[:taken]...)
	return taken, err
}

// Sync has what was written on the disk, unless it fails or lies.
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

// Close does nothing.
func (o *openFile) Close() error { return nil }
