package sqltables

import (
	"fmt"
	"testing"

	"copperrock.example/copperrock/internal/harness/testutil"
)

func TestTables(t *testing.T) {
	var lines []string
	for _, s := range []string{
		"SELECT a FROM sales_17.orders",
		"select o.a, (select 1) from staging.orders s join Sales_17.orders o on o.id = s.id",
		"INSERT INTO sales_17.orders SELECT * FROM staging.rows_3",
		"insert into staging.rows_3 select * from sales_17.orders",
		"UPDATE only sales_17 . orders SET note = 'from sales_3.x'",
		"DELETE FROM \"sales_17\".\"orders\" WHERE a = 'it''s -- from sales_3.x'",
		"SELECT '/*' AS a, t_3.b -- from sales_4.x\nFROM /* sales_5.y /* */ `sales_17`.`t` t_3",
		"SELECT \"a\"\"b from sales_3.x\" FROM sales_17.orders",
		"MERGE INTO sales_17.orders USING staging.rows_4 r ON true",
		"SELECT * FROM staging.x s, main.y_2 AS t, sales_17.orders",
		"WITH r AS (SELECT x_4.a FROM staging.x_3 x_4) SELECT r.a FROM r JOIN main.sales_17.orders o USING (a)",
		"CREATE TABLE IF NOT EXISTS sales_17.orders (a int)",
		"EXPLAIN sales_17.orders",
		"select 1", "select * from orders_17", "select * from sales_x.orders", "select * from _.x",
		"", "'", "\"", "/*", "--", "from", "from sales_17.", "from \"\".\"\"", "from sales_99999999999.x",
	} {
		lines = append(lines, fmt.Sprintf("%d  %s", TableGroup([]byte(s)), s))
	}
	testutil.CheckTrace(t, lines)
}

func FuzzTables(f *testing.F) {
	f.Add([]byte("select 'a''' from \"s_1\".t -- x\n, /* */ u_2.v"))
	f.Fuzz(func(_ *testing.T, text []byte) { TableGroup(text) })
}
