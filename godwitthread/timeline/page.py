"""Timeline as a self-contained HTML page without external resources."""

from __future__ import annotations

from html import escape

from godwitthread.timeline.failovers import failovers, title
from godwitthread.timeline.merge import RANGES, Record, details, process_of, range_of
from godwitthread.timeline.text import event_text, format_wall_time, single_line

#: Colour of each event range.
RANGE_COLOURS = {
    'instance': '#3b6ea5',
    'configuration': '#6a4c93',
    'failover': '#c2410c',
    'requests': '#b08900',
    'rates': '#0f766e',
    'connections': '#57606a',
    'invariants': '#b00020',
    'stand-ins': '#8a5a44',
}
DEFAULT_COLOUR = '#444444'
#: Field with the same value in all events of a process; shown once in the column header.
DOMAIN_FIELD = 'failure_domain'

_STYLE = """
:root { color-scheme: light dark; }
body { font: 13px/1.4 system-ui, sans-serif; margin: 0; }
header { position: sticky; top: 0; z-index: 2; padding: 8px 12px; background: Canvas; }
input { font: inherit; width: 24em; padding: 3px 6px; }
.key { display: inline-block; margin-left: 10px; }
.key i { display: inline-block; width: 10px; height: 10px; margin-right: 4px; }
table { border-collapse: collapse; }
th, td { padding: 2px 8px; text-align: left; vertical-align: top; white-space: nowrap; }
th { position: sticky; top: 40px; background: Canvas; border-bottom: 1px solid GrayText; }
td.lane { border-left: 1px solid #8884; min-width: 9em; max-width: 22em; white-space: normal; }
td.time { font-variant-numeric: tabular-nums; }
.event { border-left: 4px solid; padding-left: 6px; }
.event small { display: block; opacity: 0.75; overflow-wrap: anywhere; }
tr.failover td.time { border-left: 4px solid #c2410c; }
tr.title td { font-weight: 600; padding-top: 10px; border-left: 4px solid #c2410c; }
[hidden] { display: none; }
"""

_SCRIPT = """
const box = document.getElementById('search');
const rows = [...document.querySelectorAll('tbody tr')];
const count = document.getElementById('count');
function apply() {
  const words = box.value.toLowerCase().split(/\\s+/).filter(Boolean);
  let shown = 0;
  for (const row of rows) {
    row.hidden = !words.every((word) => row.dataset.text.includes(word));
    if (!row.hidden && !row.classList.contains('title')) shown += 1;
  }
  count.textContent = shown + ' events';
}
box.addEventListener('input', apply);
apply();
"""


def render(records: list[Record]) -> str:
    """Return an HTML page with a column per process and a row per event."""
    lanes = sorted({process_of(record) for record in records})
    header_cells = _header_cells(records, lanes)
    legend = ''.join(
        f'<span class="key"><i style="background:{RANGE_COLOURS[name]}"></i>{name}</span>'
        for name in RANGES.values()
    )
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<title>Time line</title><style>{_STYLE}</style></head><body>\n'
        '<header><input id="search" type="search" placeholder="Search events" '
        f'aria-label="Search events"> <span id="count"></span>{legend}</header>\n'
        f'<table><thead><tr><th>Time (UTC)</th>{header_cells}</tr></thead>\n'
        f'<tbody>\n{_rows(records, lanes)}</tbody></table>\n'
        f'<script>{_SCRIPT}</script></body></html>\n'
    )


def _header_cells(records: list[Record], lanes: list[str]) -> str:
    """Return the column headers with the failure domain, which event cells leave out."""
    domains = {process_of(record): str(record.get(DOMAIN_FIELD, '')) for record in records}
    return ''.join(
        f'<th>{escape(lane)} <small>{escape(domains[lane])}</small></th>' for lane in lanes
    )


def _rows(records: list[Record], lanes: list[str]) -> str:
    failover_list = failovers(records)
    titles = {id(each.records[0]): title(each) for each in failover_list}
    failover_record_ids = {id(record) for each in failover_list for record in each.records}
    rows = []
    for record in records:
        if id(record) in titles:
            text = titles[id(record)]
            searched = escape(text.lower(), quote=True)
            span = len(lanes) + 1
            rows.append(
                f'<tr class="title" data-text="{searched}"><td colspan="{span}">'
                f'{escape(text)}</td></tr>\n'
            )
        rows.append(_row(record, lanes, id(record) in failover_record_ids))
    return ''.join(rows)


def _row(record: Record, lanes: list[str], in_failover: bool) -> str:
    time = escape(format_wall_time(record))
    event = _event_cell(record)
    cells = ''.join(
        f'<td class="lane">{event if lane == process_of(record) else ""}</td>' for lane in lanes
    )
    fields_text = ' '.join(f'{name}={value}' for name, value in details(record).items())
    text = (
        f'{time} {process_of(record)} {record["number"]} {record["event"]} '
        f'{event_text(record)} {fields_text}'
    )
    kind = ' class="failover"' if in_failover else ''
    searched = escape(text.lower(), quote=True)
    return f'<tr{kind} data-text="{searched}"><td class="time">{time}</td>{cells}</tr>\n'


def _event_cell(record: Record) -> str:
    colour = RANGE_COLOURS.get(range_of(record), DEFAULT_COLOUR)
    fields_text = ' '.join(
        f'{name}={single_line(value)}'
        for name, value in details(record).items()
        if name != DOMAIN_FIELD
    )
    return (
        f'<div class="event" style="border-color:{colour}">{record["number"]} '
        f'{escape(event_text(record))}<small>{escape(fields_text)}</small></div>'
    )
