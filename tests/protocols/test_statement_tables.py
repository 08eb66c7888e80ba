"""Tests of the table group and the first table of a statement."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashcross.protocols.statement_tables import group_of_tables, table_of


@pytest.mark.parametrize(
    ("text", "group"),
    [
        ("select * from sales_17.orders", 17),
        ("SELECT a FROM sales_17.orders o JOIN sales_17.lines l ON o.id = l.id", 17),
        ("select 'it''s from sales_3.x' from sales_17.orders", 17),
        ("select 1 -- from sales_3.x\nfrom sales_17.orders", 17),
        ("select /* from sales_3.x */ 1 from sales_17.orders", 17),
        ("select /* outer /* from sales_3.x */ still */ 1 from sales_17.orders", 17),
        ("select /* never closes as nested /* */ 1 from sales_17.orders", 17),
        ("select * from /* sales_3.x", 0),
        ("select '", 0),
        ('select * from "sales_17"."orders"', 17),
        ('select * from "sales_17".orders', 17),
        ('select * from "odd "" name_17".orders', 17),
        ("select * from `sales_17`.`orders`", 17),
        ("select * from [sales_17].[orders]", 17),
        ("select * from sales_17 . orders", 17),
        ("select * from db.sales_17.orders", 17),
        ("insert into sales_17.orders select * from staging.batch_9", 17),
        ("insert into sales_17.orders (a, b) values ('x', 2)", 17),
        ("insert into staging.batch_3 select * from sales_17.orders", 17),
        ("INSERT INTO sales_17.orders SELECT * FROM STAGING.in_4", 17),
        ("update sales_17.orders set a = 1 where b = 'c_3.d'", 17),
        ("delete from only sales_17.orders", 17),
        ("merge into sales_17.orders using staging.new_2 n on n.id = 1", 17),
        ("with x as (select * from sales_17.orders) select * from x", 17),
        ("select t_3.id from sales_17.orders as t_3", 17),
        ("select extract(year from t_3.day) from sales_17.orders t_3", 17),
        ("select * from (select * from sales_17.orders) t_3 where t_3.x = 1", 17),
        ("select * from staging.a_1, sales_17.orders", 17),
        ("select $$ from sales_3.x $$ from sales_17.orders", 17),
        ("truncate table sales_17.orders", 17),
        ("copy sales_17.orders from stdin", 17),
        ("create table if not exists sales_17.orders (a int)", 17),
        ("select 1.5, 2.x from sales_017.orders", 17),
        ("select 1", 0),
        ("select * from orders", 0),
        ("select * from staging.orders", 0),
        ("", 0),
    ],
)
def test_table_group(text: str, group: int) -> None:
    assert group_of_tables(text) == group


@pytest.mark.parametrize(
    ("text", "table"),
    [
        ("select * from sales_17.orders", "sales_17.orders"),
        ("insert into Sales_17.Orders values (1)", "sales_17.orders"),
        ('update "sales_17"."orders" set a = 1', "sales_17.orders"),
        ("select * from (select * from sales_17.orders) as o join sales_17.lines", "sales_17.orders"),
        ("insert into sales_17.orders select * from staging.rows", "sales_17.orders"),
        ("insert into staging.rows select * from sales_17.orders", "sales_17.orders"),
        ("delete from main.sales_17.orders", "sales_17.orders"),
        ("truncate table orders", "orders"),
        ("select 'from sales_18.lines' -- from x\n from sales_17.orders", "sales_17.orders"),
        ("select 1", None),
        ("", None),
    ],
)
def test_first_table_of_a_statement(text: str, table: str | None) -> None:
    assert table_of(text) == table


@given(st.text(alphabet=" abc_17.,()'\"-/*$`[]\nfromselect", max_size=80))
def test_arbitrary_text_has_a_result(text: str) -> None:
    assert group_of_tables(text) >= 0
    assert table_of(text) is None or table_of(text)


@given(st.text(max_size=30))
def test_table_names_in_strings_are_ignored(text: str) -> None:
    quoted = text.replace("'", "''")
    assert group_of_tables(f"select '{quoted}' from sales_17.orders") == 17


@pytest.mark.parametrize("fragment", ["/* ", "/*/", "[", "'", "$a$", '"', "`", "(", "a.", ",", "--"])
def test_hostile_text_is_cheap(fragment: str) -> None:
    start_s = time.process_time()
    group_of_tables("select * from sales_17.orders where " + fragment * (130_000 // len(fragment)))
    assert time.process_time() - start_s < 1.0
