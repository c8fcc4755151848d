package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.base.Strings;
import com.google.common.collect.Streams;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Renders a JSON result as text: an array of objects becomes a table, an object becomes a list of its fields. Fields
 * that this program does not know are printed too. Stateless; safe for use from any thread.
 */
final class TextRenderer {
    private static final String INDENT = "  ";
    private static final String EMPTY_CELL = "-";

    private TextRenderer() {}

    static String render(JsonNode result) {
        final StringBuilder text = new StringBuilder();
        append(text, result, "");
        return text.toString();
    }

    private static void append(StringBuilder text, JsonNode node, String indent) {
        if (node.isObject()) {
            appendObject(text, node, indent);
        } else if (isTable(node)) {
            appendTable(text, node, indent);
        } else if (node.isArray()) {
            node.forEach(element -> appendElement(text, element, indent));
        } else {
            text.append(indent).append(cellText(node)).append('\n');
        }
    }

    private static void appendElement(StringBuilder text, JsonNode element, String indent) {
        if (element.isValueNode()) {
            text.append(indent).append(cellText(element)).append('\n');
            return;
        }
        append(text, element, indent + INDENT);
    }

    private static void appendObject(StringBuilder text, JsonNode object, String indent) {
        final int width = object.properties().stream()
                .filter(field -> fitsInCell(field.getValue()))
                .mapToInt(field -> field.getKey().length())
                .max()
                .orElse(0);
        for (final Map.Entry<String, JsonNode> field : object.properties()) {
            if (fitsInCell(field.getValue())) {
                final String name = Strings.padEnd(field.getKey(), width, ' ');
                text.append(indent)
                        .append(name)
                        .append(INDENT)
                        .append(cellText(field.getValue()))
                        .append('\n');
                continue;
            }
            text.append(indent).append(field.getKey()).append(":\n");
            append(text, field.getValue(), indent + INDENT);
        }
    }

    private static void appendTable(StringBuilder text, JsonNode rows, String indent) {
        final Set<String> columns = new LinkedHashSet<>();
        rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
        final List<List<String>> tableRows = new ArrayList<>();
        tableRows.add(List.copyOf(columns));
        rows.forEach(row -> tableRows.add(columns.stream()
                .map(column -> row.has(column) ? cellText(row.get(column)) : EMPTY_CELL)
                .toList()));
        final int[] widths = new int[columns.size()];
        tableRows.forEach(cells -> updateColumnWidths(widths, cells));
        tableRows.forEach(
                cells -> text.append(indent).append(alignColumns(cells, widths)).append('\n'));
    }

    private static void updateColumnWidths(int[] widths, List<String> cells) {
        for (int i = 0; i < cells.size(); i++) {
            widths[i] = Math.max(widths[i], cells.get(i).length());
        }
    }

    private static String alignColumns(List<String> cells, int[] widths) {
        final StringBuilder aligned = new StringBuilder();
        for (int i = 0; i < cells.size(); i++) {
            aligned.append(Strings.padEnd(cells.get(i), widths[i], ' ')).append(INDENT);
        }
        return aligned.toString().stripTrailing();
    }

    private static boolean isTable(JsonNode node) {
        return node.isArray()
                && !node.isEmpty()
                && Streams.stream(node)
                        .allMatch(row -> row.isObject() && Streams.stream(row).allMatch(TextRenderer::fitsInCell));
    }

    private static boolean fitsInCell(JsonNode node) {
        return node.isValueNode() || node.isEmpty() || isValueArray(node);
    }

    private static boolean isValueArray(JsonNode node) {
        return node.isArray() && Streams.stream(node).allMatch(JsonNode::isValueNode);
    }

    private static String cellText(JsonNode node) {
        if (node.isNull() || (node.isContainerNode() && node.isEmpty())) {
            return EMPTY_CELL;
        }
        if (node.isArray()) {
            return Streams.stream(node).map(JsonNode::asText).collect(Collectors.joining(","));
        }
        return node.asText().isEmpty() ? EMPTY_CELL : node.asText();
    }
}
